/** Tracking of backend server processes that are leaving, that is, finish their work and take no more. */
package io.figspan.control.leaving;
