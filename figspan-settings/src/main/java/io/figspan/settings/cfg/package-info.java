/** The configuration of one host process, read from its host file. */
package io.figspan.settings.cfg;
