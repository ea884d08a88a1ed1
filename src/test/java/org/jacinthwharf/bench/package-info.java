/** Benchmarks of the whole system; started by {@code bin/bench}. Start reading at {@code Bench}. */
package org.jacinthwharf.bench;
