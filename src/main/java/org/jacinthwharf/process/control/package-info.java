/**
 * The control process: replicated state, operator interface, configuration push. Start reading at
 * {@code ControlProcess}, or at {@code ControlStateMachine} for the decisions.
 */
package org.jacinthwharf.process.control;
