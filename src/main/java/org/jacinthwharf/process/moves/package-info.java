/** Splits requests between versions and collects evidence, in a router or a gateway. */
package org.jacinthwharf.process.moves;
