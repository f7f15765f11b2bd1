/** The process on every entry host: figspand. */
package io.figspan.host;
