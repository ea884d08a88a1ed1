/** Command line of the one executable; start reading at {@code Main}. */
package org.jacinthwharf.cli;
