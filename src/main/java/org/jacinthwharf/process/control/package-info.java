/**
 * The control process: replicated state, operator interface and configuration push. {@code
 * ControlProcess} is the entry point; {@code ControlStateMachine} makes the decisions.
 */
package org.jacinthwharf.process.control;
