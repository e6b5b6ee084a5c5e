/** A proxy fleet for targets with gray failures; the sub-packages are named after the peers. */
package org.apricotgauge;
