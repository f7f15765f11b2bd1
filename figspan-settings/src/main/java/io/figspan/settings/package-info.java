/** The tree of settings: reading, validation, inheritance and publication. */
package io.figspan.settings;
