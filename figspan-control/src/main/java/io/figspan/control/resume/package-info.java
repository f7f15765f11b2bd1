/** Authenticated tokens with which a caller resumes its own stream at any host. */
package io.figspan.control.resume;
