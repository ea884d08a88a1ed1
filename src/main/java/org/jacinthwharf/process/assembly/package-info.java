/**
 * Assembles a control process from components that do not depend on each other: consensus, claims,
 * version moves and the witness.
 */
package org.jacinthwharf.process.assembly;
