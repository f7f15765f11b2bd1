/** Value types for ids. */
package io.figspan.core.id;
