/** Authenticated tokens given to callers: the keys, and the encoding shared by tickets and resume tokens. */
package io.figspan.control.token;
