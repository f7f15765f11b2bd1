/** Request routing: lookup of the route, the organisation and the service of a request. */
package io.figspan.policy.route;
