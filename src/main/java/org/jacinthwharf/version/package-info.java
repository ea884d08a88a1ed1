/** Version moves: aggregation of evidence, verdicts, phases and traffic splitting. */
package org.jacinthwharf.version;
