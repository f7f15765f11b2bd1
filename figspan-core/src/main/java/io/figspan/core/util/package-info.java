/** Utilities for hashing, name suggestions and port numbers. */
package io.figspan.core.util;
