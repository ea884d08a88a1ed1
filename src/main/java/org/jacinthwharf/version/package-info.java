/** Decides on version moves: evidence, verdict, phases. */
package org.jacinthwharf.version;
