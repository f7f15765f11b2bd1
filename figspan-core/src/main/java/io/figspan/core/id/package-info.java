/** Value types of identifiers. */
package io.figspan.core.id;
