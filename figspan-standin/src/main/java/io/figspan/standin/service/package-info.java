/** Stand-in for a plain service, which runs orders and counts the runs. */
package io.figspan.standin.service;
