/** What hosts tell each other: who serves, what is placed where, and the newest settings. */
package io.figspan.gateway.peer;
