/** Backend servers as the gateway reaches them. */
package io.figspan.gateway.backend;
