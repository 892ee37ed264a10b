package umberrun.consensus;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import umberrun.consensus.ConsensusMessage.Accept;
import umberrun.consensus.ConsensusMessage.Accepted;
import umberrun.consensus.ConsensusMessage.Prepare;
import umberrun.consensus.ConsensusMessage.Promised;
import umberrun.consensus.ConsensusMessage.Read;
import umberrun.consensus.ConsensusMessage.ReadResult;
import umberrun.consensus.ConsensusMessage.Refused;

/**
 * The acceptor of the CASPaxos registers. It performs no I/O: the caller must write and sync what
 * {@link #handle} changed <em>before</em> it sends the response, and after a crash starts a new
 * voter from what was synced.
 */
public class Voter {
  /**
   * The state of one register.
   *
   * @param promised the highest promised ballot
   * @param accepted the ballot of the last accepted value
   * @param value the last accepted value
   */
  public record Slot(Ballot promised, Ballot accepted, RegisterValue value) {
    static final Slot NONE = new Slot(Ballot.NONE, Ballot.NONE, RegisterValue.NONE);

    @Override
    public String toString() {
      return promised + " " + accepted + " " + value;
    }
  }

  /**
   * A response and the change that must be on disk, along with all earlier changes, before it is
   * sent.
   *
   * @param answer the response; null in {@link EpochVoter#initialSlot}
   * @param register name of the slot
   * @param slot the new state of the register, null if nothing has changed
   */
  public record VoteResult(ConsensusMessage answer, String register, Slot slot) {}

  private final Map<String, Slot> slots;
  private final int maxRegisters;

  /**
   * @param stored the slots on disk, by register name
   * @param maxRegisters requests that would add a register beyond this number are not answered
   */
  public Voter(Map<String, Slot> stored, int maxRegisters) {
    this.slots = new TreeMap<>(stored);
    this.maxRegisters = maxRegisters;
  }

  /**
   * Handles a request of a proposer. Null means no response: there are too many registers, or the
   * value is too long.
   */
  public VoteResult handle(ConsensusMessage request) {
    if (request instanceof Read read) {
      Slot slot = slots.getOrDefault(read.register(), Slot.NONE);
      return new VoteResult(
          new ReadResult(read.op(), slot.accepted, slot.value), read.register(), null);
    }
    if (request instanceof Prepare prepare) {
      Slot slot = slots.getOrDefault(prepare.register(), Slot.NONE);
      if (prepare.ballot().compareTo(slot.promised) <= 0) {
        return new VoteResult(new Refused(prepare.op(), slot.promised), prepare.register(), null);
      }
      return store(
          prepare.register(),
          new Slot(prepare.ballot(), slot.accepted, slot.value),
          new Promised(prepare.op(), slot.accepted, slot.value));
    }
    if (request instanceof Accept accept && accept.value().isWithinMaxBytes()) {
      Slot slot = slots.getOrDefault(accept.register(), Slot.NONE);
      if (accept.ballot().compareTo(slot.promised) < 0) {
        return new VoteResult(new Refused(accept.op(), slot.promised), accept.register(), null);
      }
      return store(
          accept.register(),
          new Slot(accept.ballot(), accept.ballot(), accept.value()),
          new Accepted(accept.op()));
    }
    return null;
  }

  private VoteResult store(String register, Slot slot, ConsensusMessage answer) {
    if (!slots.containsKey(register) && slots.size() >= maxRegisters) {
      return null;
    }
    slots.put(register, slot);
    return new VoteResult(answer, register, slot);
  }

  /** The state of all registers, by name. */
  public Map<String, Slot> slots() {
    return Collections.unmodifiableMap(slots);
  }
}
