/** Stand-ins for the platform: configuration service, host list and weight store. */
package io.figspan.standin.platform;
