/** The base exception, problem documents and results. */
package io.figspan.core.error;
