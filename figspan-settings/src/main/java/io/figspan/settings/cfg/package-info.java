/** The configuration of one process, read from its host file. */
package io.figspan.settings.cfg;
