/**
 * Puts the components of a control process together that do not know each other: consensus, claims,
 * version moves and the witness vote.
 */
package org.jacinthwharf.process.assembly;
