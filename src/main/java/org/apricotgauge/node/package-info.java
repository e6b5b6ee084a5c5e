/** The node: the one small process in the slot beside the targets of a VM. */
package org.apricotgauge.node;
