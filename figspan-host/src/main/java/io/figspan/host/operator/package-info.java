/** The operator port: status, timeline, metrics and health. */
package io.figspan.host.operator;
