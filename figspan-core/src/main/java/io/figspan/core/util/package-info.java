/** Hashing and name helpers. */
package io.figspan.core.util;
