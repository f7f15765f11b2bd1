/** The exception root, problem documents and results. */
package io.figspan.core.error;
