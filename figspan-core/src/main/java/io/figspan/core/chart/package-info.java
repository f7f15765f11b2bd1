/** State charts read from files. */
package io.figspan.core.chart;
