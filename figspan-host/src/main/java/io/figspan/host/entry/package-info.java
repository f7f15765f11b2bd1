/** The caller port: entry list, prompts, streams and orders. */
package io.figspan.host.entry;
