/** State machine of one prompt request at the host that serves it. */
package io.figspan.control.request;
