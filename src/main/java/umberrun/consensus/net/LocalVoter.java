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
 * The voter of this front end. It runs on the event loop and its store on a worker thread. Requests
 * that arrive during a sync wait for the next one, so that many responses share a sync. If the
 * store is unusable, this front end does not vote, reports the reason, and goes on serving calls.
 */
final class LocalVoter {
  /** A response that waits for the sync of its change. */
  private record PendingResponse(VoteResult result, Consumer<ConsensusMessage> responder) {}

  /** Requests that may wait for a sync; further ones are dropped, as on a lossy link. */
  private static final int MAX_PENDING_REQUESTS = 1_024;

  private static final int MAX_REGISTERS = 256;

  private final WorkerExecutor blockingExecutor;
  private final Path folder;
  private final String owner;
  private final Counters counters;
  private final Consumer<String> log;
  private VoterStore store;
  private EpochVoter voter;
  private String key = "";
  private String fault = "its folder is not open yet";
  private List<PendingResponse> pending = new ArrayList<>();
  private boolean syncing;
  private Future<Void> creation;
  private boolean closed;

  /**
   * Whether the folder contains a store, usable or not. Set on the worker thread before the event
   * loop reads it.
   */
  private volatile boolean storeExists;

  /**
   * @param folder of the store
   * @param owner the names of the fleet and this front end, {@code fleet/name}
   */
  LocalVoter(Vertx vertx, Path folder, String owner, Counters counters, Consumer<String> log) {
    this.blockingExecutor = vertx.createSharedWorkerExecutor("voter", 1);
    this.folder = folder;
    this.owner = owner;
    this.counters = counters;
    this.log = log;
  }

  /** Opens the store. The future succeeds even if the store is unusable. */
  Future<Void> open() {
    return blockingExecutor
        .executeBlocking(
            () -> {
              storeExists = VoterStore.exists(folder);
              return VoterStore.open(folder, owner);
            })
        .map(this::useStore)
        .recover(e -> reportUnusable(e.getMessage()));
  }

  private Void useStore(VoterStore opened) {
    if (closed) {
      close(opened);
      return null;
    }
    store = opened;
    key = opened.owner().substring(owner.lastIndexOf('/') + 1);
    voter = new EpochVoter(opened.slots(), MAX_REGISTERS);
    fault = "";
    log.accept("leases: votes as " + key + ", epoch " + voter.voters().epoch());
    return null;
  }

  private Future<Void> reportUnusable(String reason) {
    fault = reason;
    log.accept("leases: does not vote: " + reason);
    return Future.succeededFuture();
  }

  /**
   * Creates a new store and sets an existing one aside. The future succeeds once it is open, or was
   * found unusable.
   *
   * @param id of the new store, a part of the voter's key
   */
  Future<Void> createStore(long id) {
    if (creation != null) {
      // Asked again meanwhile: a second store would set the first one aside after its key was sent.
      return creation;
    }
    VoterStore oldStore = store;
    store = null;
    voter = null;
    creation =
        blockingExecutor
            .executeBlocking(
                () -> {
                  close(oldStore);
                  VoterStore.setAside(folder);
                  VoterStore.create(folder, owner + "#" + Long.toHexString(id));
                  return null;
                })
            .compose(v -> open())
            .recover(e -> reportUnusable(e.getMessage()))
            .onComplete(v -> creation = null);
    return creation;
  }

  /** The key of the voter, empty if it does not vote. */
  String key() {
    return voter == null ? "" : key;
  }

  /** Why this front end does not vote, empty if it does. */
  String fault() {
    return fault;
  }

  /** Whether there is a store that cannot be used, which may contain promises. */
  boolean isDamaged() {
    return voter == null && storeExists && creation == null;
  }

  /** The installed voter set, {@link VoterSet#UNKNOWN} if there is none. */
  VoterSet installedSet() {
    return voter == null ? VoterSet.UNKNOWN : voter.voters();
  }

  /** Number of registers that the voter has. */
  int registerCount() {
    return voter == null ? 0 : voter.slots().size();
  }

  /** Whether the store must not be replaced, see {@link EpochVoter#mustKeepStore}. */
  boolean mustKeepStore(VoterSet asOf) {
    return voter != null && voter.mustKeepStore(key, asOf);
  }

  /**
   * Handles a request to the voter of a key. The response is sent once all changes it depends on
   * are on disk, or never.
   */
  void handle(
      String requestedKey,
      long epoch,
      ConsensusMessage request,
      Consumer<ConsensusMessage> responder) {
    if (voter == null || !requestedKey.equals(key) || pending.size() >= MAX_PENDING_REQUESTS) {
      return;
    }
    VoteResult result = voter.handle(epoch, request);
    if (result == null) {
      return;
    }
    counters.add(Count.VOTES);
    if (result.slot() == null && pending.isEmpty() && !syncing) {
      responder.accept(result.answer());
      return;
    }
    pending.add(new PendingResponse(result, responder));
    sync();
  }

  private void sync() {
    if (syncing || pending.isEmpty()) {
      return;
    }
    syncing = true;
    List<PendingResponse> batch = pending;
    pending = new ArrayList<>();
    VoterStore target = store;
    List<VoteResult> results = batch.stream().map(PendingResponse::result).toList();
    blockingExecutor
        .executeBlocking(
            () -> {
              target.write(results);
              return null;
            })
        .onComplete(
            v -> {
              syncing = false;
              counters.add(Count.VOTE_SYNCS);
              batch.forEach(entry -> entry.responder.accept(entry.result.answer()));
              sync();
            },
            e -> {
              // The contents on disk are now unknown, so this voter must not answer any more.
              syncing = false;
              if (target == store) {
                voter = null;
                pending.clear();
                reportUnusable(e.getMessage());
              }
            });
  }

  /** Stops voting and closes the store, so that another process can open it. */
  Future<Void> close() {
    closed = true;
    VoterStore oldStore = store;
    voter = null;
    store = null;
    pending.clear();
    return blockingExecutor.executeBlocking(
        () -> {
          close(oldStore);
          return null;
        });
  }

  private static void close(VoterStore openStore) {
    try {
      if (openStore != null) {
        openStore.close();
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
