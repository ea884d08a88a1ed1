/** The control process: state machine, operator interface, configuration push. */
package org.jacinthwharf.process.control;
