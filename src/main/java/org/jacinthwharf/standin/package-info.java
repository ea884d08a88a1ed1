/** Small stand-in backend servers for trials, tests and benchmarks. */
package org.jacinthwharf.standin;
