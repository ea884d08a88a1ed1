package org.jacinthwharf.process.control;

import org.jacinthwharf.wire.generated.ConfigurationDelta;

/** Is notified of changes to the committed configuration, on the event loop. */
interface ConfigurationListener {
    /** Called after a change was applied that leads from its base revision to the next one. */
    void onChange(ConfigurationDelta delta);

    /** Called after the configuration was replaced by that of a snapshot. */
    void onRestore();
}
