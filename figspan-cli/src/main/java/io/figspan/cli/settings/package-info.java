/** Commands that work on part files of the settings tree. */
package io.figspan.cli.settings;
