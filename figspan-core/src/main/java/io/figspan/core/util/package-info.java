/** Hashing, name and port helpers. */
package io.figspan.core.util;
