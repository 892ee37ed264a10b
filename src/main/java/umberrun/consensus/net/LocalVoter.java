package umberrun.consensus.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.WorkerExecutor;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import umberrun.consensus.ConsensusMessage;
import umberrun.consensus.EpochVoter;
import umberrun.consensus.Voter.VoteResult;
import umberrun.consensus.VoterSet;
import umberrun.consensus.disk.VoterStore;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * A voter on the one loop, its folder beside it: what is asked while a sync runs waits for the next
 * one, so that many answers share a sync. Whatever is wrong with the folder, this front end does
 * not vote, says why, and serves calls on.
 */
final class LocalVoter {
  private record Waiting(VoteResult step, Consumer<ConsensusMessage> answer) {}

  /** Questions that wait for a sync; beyond that they are dropped, as by a poor link. */
  private static final int MOST_WAITING = 1_024;

  private static final int MOST_REGISTERS = 256;

  private final WorkerExecutor beside;
  private final Path folder;
  private final String owner;
  private final Counters counters;
  private final Consumer<String> log;
  private VoterStore disk;
  private EpochVoter seat;
  private String key = "";
  private String fault = "its folder is not open yet";
  private List<Waiting> waiting = new ArrayList<>();
  private boolean syncs;
  private Future<Void> making;
  private boolean over;

  /**
   * Written beside the loop before it is read on it: something is in the folder, though it can't be
   * voted on.
   */
  private volatile boolean damaged;

  /**
   * @param owner the fleet's name and this front end's, {@code fleet/name}
   */
  LocalVoter(Vertx vertx, Path folder, String owner, Counters counters, Consumer<String> log) {
    this.beside = vertx.createSharedWorkerExecutor("voter", 1);
    this.folder = folder;
    this.owner = owner;
    this.counters = counters;
    this.log = log;
  }

  /** Opens the folder; done, also where it can't be voted on. */
  Future<Void> open() {
    return beside
        .executeBlocking(
            () -> {
              damaged = VoterStore.exists(folder);
              return VoterStore.open(folder, owner);
            })
        .map(this::begin)
        .recover(e -> unfit(e.getMessage()));
  }

  private Void begin(VoterStore opened) {
    if (over) {
      close(opened);
      return null;
    }
    disk = opened;
    key = opened.owner().substring(owner.lastIndexOf('/') + 1);
    seat = new EpochVoter(opened.slots(), MOST_REGISTERS);
    fault = "";
    log.accept("leases: votes as " + key + ", epoch " + seat.voters().epoch());
    return null;
  }

  private Future<Void> unfit(String why) {
    fault = why;
    log.accept("leases: does not vote: " + why);
    return Future.succeededFuture();
  }

  /** Makes a new folder, with what was there put aside; done once it is open. */
  Future<Void> make(long id) {
    if (making
        != null) { // asked again meanwhile: a second folder would put the first aside, whose key
      // was told
      return making;
    }
    VoterStore held = disk;
    disk = null;
    seat = null;
    making =
        beside
            .executeBlocking(
                () -> {
                  close(held);
                  VoterStore.setAside(folder);
                  VoterStore.create(folder, owner + "#" + Long.toHexString(id));
                  return null;
                })
            .compose(v -> open())
            .recover(e -> unfit(e.getMessage()))
            .onComplete(v -> making = null);
    return making;
  }

  String key() {
    return seat == null ? "" : key;
  }

  /** Why it does not vote, or empty. */
  String fault() {
    return fault;
  }

  /** Whether it had a vote, and may have promised something that can't be read now. */
  boolean isDamaged() {
    return seat == null && damaged && making == null;
  }

  VoterSet taken() {
    return seat == null ? VoterSet.UNKNOWN : seat.voters();
  }

  int registers() {
    return seat == null ? 0 : seat.slots().size();
  }

  /** Whether it must keep its folder, and whether that was never told of a set. */
  boolean holdsOn(VoterSet asOf) {
    return seat != null && seat.mustKeepStore(key, asOf);
  }

  /**
   * Asks the voter under a key; its answer comes once all that it rests on is on disk, or never.
   */
  void ask(String asked, long epoch, ConsensusMessage m, Consumer<ConsensusMessage> answer) {
    if (seat == null || !asked.equals(key) || waiting.size() >= MOST_WAITING) {
      return;
    }
    VoteResult step = seat.handle(epoch, m);
    if (step == null) {
      return;
    }
    counters.add(Count.VOTES);
    if (step.slot() == null && waiting.isEmpty() && !syncs) {
      answer.accept(step.answer());
      return;
    }
    waiting.add(new Waiting(step, answer));
    sync();
  }

  private void sync() {
    if (syncs || waiting.isEmpty()) {
      return;
    }
    syncs = true;
    List<Waiting> batch = waiting;
    waiting = new ArrayList<>();
    VoterStore at = disk;
    List<VoteResult> steps = batch.stream().map(Waiting::step).toList();
    beside
        .executeBlocking(
            () -> {
              at.write(steps);
              return null;
            })
        .onComplete(
            v -> {
              syncs = false;
              counters.add(Count.VOTE_SYNCS);
              batch.forEach(w -> w.answer.accept(w.step.answer()));
              sync();
            },
            e -> { // guards what was promised: what is on disk now is not known
              syncs = false;
              if (at == disk) {
                seat = null;
                waiting.clear();
                unfit(e.getMessage());
              }
            });
  }

  /** Lets go of the folder, so that a successor can have it; votes no more. */
  Future<Void> close() {
    over = true;
    VoterStore held = disk;
    seat = null;
    disk = null;
    waiting.clear();
    return beside.executeBlocking(
        () -> {
          close(held);
          return null;
        });
  }

  private static void close(VoterStore held) {
    try {
      if (held != null) {
        held.close();
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
