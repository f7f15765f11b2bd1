/** Authenticated text tokens that callers carry: the keys, and the form that tickets and resume tokens share. */
package io.figspan.control.token;
