/** Value types for identifiers; each validates itself on creation. */
package org.jacinthwharf.id;
