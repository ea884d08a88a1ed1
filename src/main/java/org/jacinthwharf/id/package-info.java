/** Value types for identifiers, and their form in logs. */
package org.jacinthwharf.id;
