/** Stand-ins for platform services: configuration service, host list and weight store. */
package io.figspan.standin.platform;
