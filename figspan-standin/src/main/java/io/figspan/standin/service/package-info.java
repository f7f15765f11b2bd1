/** Stand-in for a plain service that runs orders and records each run. */
package io.figspan.standin.service;
