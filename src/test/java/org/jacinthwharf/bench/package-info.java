/**
 * Benchmarks of the whole system; started by {@code bin/bench}. {@code Bench} is the entry point.
 */
package org.jacinthwharf.bench;
