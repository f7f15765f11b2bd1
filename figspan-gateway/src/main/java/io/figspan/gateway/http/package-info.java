/** HTTP connections to other servers, one exchange at a time. */
package io.figspan.gateway.http;
