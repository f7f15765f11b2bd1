/** Syntax of HTTP/1 responses: the one place that decides whether the bytes of a server are a response. */
package io.figspan.wire.http;
