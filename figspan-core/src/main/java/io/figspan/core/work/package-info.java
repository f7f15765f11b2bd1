/** A host's work at backend servers, as hosts report it to each other. */
package io.figspan.core.work;
