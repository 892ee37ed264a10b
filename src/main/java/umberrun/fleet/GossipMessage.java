package umberrun.fleet;

import java.util.List;

/**
 * A datagram of the membership protocol.
 *
 * @param seq the sequence number of a probe; a response repeats it. 0 in a ping that only carries
 *     claims
 * @param target the name of the probed member; in that member's own ACK the name of the receiver,
 *     in a NAME_CONFLICT the shared name
 * @param targetAddress the address of the target in a {@link Kind#PING_REQUEST}; empty otherwise
 * @param sender the sender's claim about itself
 * @param gossip claims piggybacked on the message
 */
public record GossipMessage(
    Kind kind, long seq, String target, String targetAddress, Claim sender, List<Claim> gossip) {
  /** The purpose of a message. The order of the constants is the wire code. */
  public enum Kind {
    /** Probes the target. */
    PING,
    /** The probed member is alive. */
    ACK,
    /** The receiver of a ping is not its target. */
    NOT_HERE,
    /** Asks the receiver to probe the target on behalf of the sender. */
    PING_REQUEST,
    /** The receiver of a ping request had no response from the target in time. */
    NACK,
    /** The sender has the same name as the receiver. */
    NAME_CONFLICT
  }
}
