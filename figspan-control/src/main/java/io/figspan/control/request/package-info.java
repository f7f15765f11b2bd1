/** The life of one prompt at the host that serves it. */
package io.figspan.control.request;
