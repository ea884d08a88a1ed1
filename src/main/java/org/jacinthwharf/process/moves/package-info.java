/** Counts how versions answer and divides requests between them, in a router or a gateway. */
package org.jacinthwharf.process.moves;
