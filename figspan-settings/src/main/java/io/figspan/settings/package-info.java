/** The settings tree: parsing, validation, inheritance and versioned publication. */
package io.figspan.settings;
