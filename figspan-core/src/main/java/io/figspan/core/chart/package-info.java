/** Transition tables of finite state machines, loaded from files. */
package io.figspan.core.chart;
