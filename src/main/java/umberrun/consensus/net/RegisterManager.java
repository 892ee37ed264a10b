package umberrun.consensus.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import umberrun.config.LeaseOptions;
import umberrun.consensus.ConsensusMessage;
import umberrun.consensus.ConsensusMessage.Install;
import umberrun.consensus.ConsensusMessage.VoterDescription;
import umberrun.consensus.ConsensusMessage.VoterQuery;
import umberrun.consensus.Proposer;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.VoterBootstrap;
import umberrun.consensus.VoterReplacement;
import umberrun.consensus.VoterSet;
import umberrun.consensus.net.ConsensusCodec.Envelope;
import umberrun.core.Clock;
import umberrun.stats.Counters;

/**
 * The consensus registers of a front end: its voter if it has one, its proposers, and the operator
 * commands that create the first voter set and replace voters. Runs the state machines of {@code
 * umberrun.consensus} on the event loop. Messages are addressed to front ends by name.
 */
public final class RegisterManager {
  /** Carries messages to other front ends, without a guarantee of delivery. */
  public interface Transport {
    /** Sends a message to a front end. */
    void send(String name, byte[] body);

    /** Names of some living front ends, which are asked for the voter set. */
    List<String> livingMembers();
  }

  private static final long REQUEST_TIMEOUT_MICROS = 300_000;
  private static final long INITIAL_QUERY_INTERVAL_MILLIS = 100;
  private static final long MAX_QUERY_INTERVAL_MILLIS = 3_000;
  private static final long COMMAND_TIMEOUT_MICROS = 15_000_000;
  private static final long RESUME_CHECK_MILLIS = 10_000;
  private static final long MICROS_PER_MILLI = 1_000;
  private static final int MAX_QUEUED_OPERATIONS = 256;

  /** Requester number of the search for the voter set; clients have numbers from 0. */
  private static final int VOTER_QUERY_REQUESTER = -1;

  /** Requester number of operator commands. */
  private static final int COMMAND_REQUESTER = -2;

  /**
   * A queued change or read.
   *
   * @param change null for a read
   * @param onResult receives the result, see {@link Proposer.Outbox#completed}
   */
  private record Operation(
      String register, Proposer.Change change, long deadline, Consumer<RegisterValue> onResult) {}

  /**
   * A proposer with a queue. Operations of one client run in order, those of several clients
   * concurrently.
   */
  public final class RegisterClient implements Proposer.Outbox {
    private final int number;
    private final Proposer proposer;
    private final Deque<Operation> queue = new ArrayDeque<>();
    private long timer = -1;

    private RegisterClient(int number) {
      this.number = number;
      this.proposer =
          new Proposer(
              name + "/" + Long.toHexString(startId) + "/" + number,
              knownVoters.keys(),
              REQUEST_TIMEOUT_MICROS,
              random.split(),
              this);
    }

    /**
     * Reads a register.
     *
     * @param deadline when the read is given up, in microseconds of the {@link Clock}
     * @param onResult receives the value, or null if no majority responded in time
     */
    public void read(String register, long deadline, Consumer<RegisterValue> onResult) {
      enqueue(new Operation(register, null, deadline, onResult));
    }

    /**
     * Changes a register.
     *
     * @param deadline when the change is given up, in microseconds of the {@link Clock}
     * @param onResult receives the value after the change, or null if it is unknown whether it was
     *     made
     */
    public void change(
        String register, Proposer.Change change, long deadline, Consumer<RegisterValue> onResult) {
      enqueue(new Operation(register, change, deadline, onResult));
    }

    private void enqueue(Operation operation) {
      // Bounds the memory in use while no majority responds.
      if (queue.size() >= MAX_QUEUED_OPERATIONS) {
        vertx.runOnContext(v -> operation.onResult.accept(null));
        return;
      }
      queue.add(operation);
      if (queue.size() == 1) {
        startNext();
      }
    }

    private void startNext() {
      Operation operation = queue.peek();
      long now = clock.now();
      if (operation != null && operation.change == null) {
        proposer.read(now, operation.register, operation.deadline);
      } else if (operation != null) {
        proposer.submit(now, operation.register, operation.change, operation.deadline);
      }
    }

    @Override
    public void send(String voter, ConsensusMessage message) {
      sendToVoter(voter, number, message);
    }

    @Override
    public void startRetryTimer(long at) {
      vertx.cancelTimer(timer);
      timer =
          vertx.setTimer(
              Math.max(1, (at - clock.now() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI),
              t -> proposer.onTimer(clock.now()));
    }

    @Override
    public void completed(RegisterValue value) {
      vertx.cancelTimer(timer);
      Operation operation = queue.poll();
      startNext();
      operation.onResult.accept(value);
    }
  }

  private final Vertx vertx;
  private final Clock clock;
  private final LeaseOptions options;
  private final String name;
  private final Consumer<String> log;
  private final Transport transport;
  private final SplittableRandom random;
  private final long startId;
  private final LocalVoter localVoter;
  private final List<RegisterClient> clients = new ArrayList<>();
  private VoterSet knownVoters = VoterSet.UNKNOWN;
  private RegisterClient commandClient;
  private long queryIntervalMillis = INITIAL_QUERY_INTERVAL_MILLIS;
  private boolean closed;

  /**
   * The operator command in progress. Only one runs at a time; at most one of these three is set.
   */
  private VoterBootstrap bootstrap;

  private VoterReplacement replacement;
  private String newcomerName;
  private String leaverName;
  private long commandDeadline;
  private long commandTimer = -1;

  /** Why the last command failed, null if it succeeded or is in progress. */
  private String lastFault;

  /**
   * @param fleet name of the fleet
   * @param name of this front end
   * @param startId identifies this process among all starts of the front end
   * @param log receives log lines
   * @param transport carries the messages
   */
  public RegisterManager(
      Vertx vertx,
      Clock clock,
      LeaseOptions options,
      String fleet,
      String name,
      long startId,
      Counters counters,
      Consumer<String> log,
      Transport transport) {
    this.vertx = vertx;
    this.clock = clock;
    this.options = options;
    this.name = name;
    this.startId = startId;
    this.log = log;
    this.transport = transport;
    this.random = new SplittableRandom(startId);
    this.localVoter =
        options.stateDir().isEmpty()
            ? null
            : new LocalVoter(
                vertx,
                java.nio.file.Path.of(options.stateDir()),
                fleet + "/" + name,
                counters,
                log);
    this.commandClient = newClient();
  }

  /** Opens the store of the voter, if one is configured, and starts to look for the voter set. */
  public Future<Void> open() {
    Future<Void> opened = localVoter == null ? Future.succeededFuture() : localVoter.open();
    return opened.onComplete(
        v -> {
          if (localVoter != null) {
            adopt(localVoter.installedSet());
          }
          queryVoters();
          scheduleResumeCheck();
        });
  }

  /** Creates another client. */
  public RegisterClient newClient() {
    RegisterClient client = new RegisterClient(clients.size());
    clients.add(client);
    return client;
  }

  /** The newest voter set that this front end knows. */
  public VoterSet voters() {
    return knownVoters;
  }

  /** Whether the voter of this front end is in the newest voter set that it knows. */
  public boolean isVoter() {
    return localVoter != null && knownVoters.keys().contains(localVoter.key());
  }

  /** Asks for the voter set until it is known, at growing intervals. */
  private void queryVoters() {
    if (closed || knownVoters.epoch() > 0) {
      return;
    }
    List<String> recipients = new ArrayList<>(options.voters());
    recipients.addAll(transport.livingMembers());
    for (String recipient : recipients) {
      if (!recipient.equals(name)) {
        send(
            recipient,
            new Envelope(
                false,
                0,
                "",
                startId,
                VOTER_QUERY_REQUESTER,
                new VoterQuery(0, false, VoterSet.UNKNOWN, List.of())));
      }
    }
    vertx.setTimer(
        queryIntervalMillis / 2 + random.nextLong(queryIntervalMillis), t -> queryVoters());
    queryIntervalMillis = Math.min(MAX_QUERY_INTERVAL_MILLIS, 2 * queryIntervalMillis);
  }

  /**
   * Completes a replacement that another process began and did not finish: a voter that sees no
   * progress between two checks resumes it.
   */
  private void scheduleResumeCheck() {
    long checkedEpoch = knownVoters.epoch();
    vertx.setTimer(
        RESUME_CHECK_MILLIS / 2 + random.nextLong(RESUME_CHECK_MILLIS),
        t -> {
          if (!closed) {
            if (!knownVoters.leaving().isEmpty()
                && knownVoters.epoch() == checkedEpoch
                && isVoter()
                && !isBusy()) {
              log.accept("leases: goes on with the replacement of " + knownVoters.leaving());
              replaceVoter("", "");
            }
            scheduleResumeCheck();
          }
        });
  }

  private void adopt(VoterSet voters) {
    if (voters.epoch() > knownVoters.epoch()) {
      knownVoters = voters;
      log.accept(
          "leases: voters are "
              + voters.keys()
              + ", epoch "
              + voters.epoch()
              + (voters.leaving().isEmpty() ? "" : ", leaving " + voters.leaving()));
      long now = clock.now();
      clients.forEach(client -> client.proposer.setVoters(now, voters.keys()));
    }
  }

  /** Stops sending and responding. The future completes once another process can open the store. */
  public Future<Void> close() {
    closed = true;
    return localVoter == null ? Future.succeededFuture() : localVoter.close();
  }

  // ---------------------------------------------------------------- sending and receiving

  private void sendToVoter(String voter, int requester, ConsensusMessage message) {
    send(
        VoterSet.nameOf(voter),
        new Envelope(false, knownVoters.epoch(), voter, startId, requester, message));
  }

  private void send(String to, Envelope envelope) {
    if (!closed) {
      transport.send(to, ConsensusCodec.encode(envelope));
    }
  }

  /**
   * Handles a message of another front end.
   *
   * @throws IllegalArgumentException if it cannot be decoded
   */
  public void receive(String from, byte[] body) {
    Envelope envelope = ConsensusCodec.decode(body);
    if (closed) {
      return;
    }
    if (envelope.answer()) {
      if (envelope.startId() == startId) {
        handleResponse(from, envelope);
      }
    } else if (envelope.message() instanceof VoterQuery query) {
      describeVoter(
          query,
          description ->
              send(
                  from,
                  new Envelope(
                      true, 0, "", envelope.startId(), envelope.requester(), description)));
    } else if (localVoter != null) {
      localVoter.handle(
          envelope.voter(),
          envelope.epoch(),
          envelope.message(),
          message -> {
            if (envelope.message() instanceof Install) {
              adopt(localVoter.installedSet());
            }
            send(
                from,
                new Envelope(
                    true,
                    envelope.epoch(),
                    envelope.voter(),
                    envelope.startId(),
                    envelope.requester(),
                    message));
          });
    }
  }

  private void handleResponse(String from, Envelope envelope) {
    long now = clock.now();
    ConsensusMessage message = envelope.message();
    if (message instanceof ConsensusMessage.Outdated outdated) {
      adopt(outdated.voters());
    } else if (message instanceof VoterDescription description) {
      adopt(description.known());
    } else if (message instanceof ConsensusMessage.UnknownEpoch && knownVoters.epoch() > 0) {
      sendToVoter(envelope.voter(), envelope.requester(), new Install(-1, knownVoters));
      return;
    }
    if (envelope.requester() >= 0 && envelope.requester() < clients.size()) {
      clients.get(envelope.requester()).proposer.receive(now, envelope.voter(), message);
    } else if (envelope.requester() == COMMAND_REQUESTER && bootstrap != null) {
      bootstrap.receive(now, from, message);
    } else if (envelope.requester() == COMMAND_REQUESTER && replacement != null) {
      replacement.receive(now, envelope.voter(), message);
    } else if (envelope.requester() == COMMAND_REQUESTER
        && newcomerName != null
        && message instanceof VoterDescription description) {
      onNewcomerDescription(description);
    }
  }

  /**
   * Responds with the state of the local voter, and creates a new store first if asked and allowed
   * to.
   */
  private void describeVoter(VoterQuery query, Consumer<VoterDescription> answer) {
    if (localVoter == null) {
      answer.accept(
          new VoterDescription(query.op(), "", knownVoters, "its file names no state_dir"));
      return;
    }
    boolean namesDiffer =
        !query.names().isEmpty()
            && !query.names().equals(options.voters().stream().sorted().toList());
    boolean keepsStore =
        !localVoter.key().isEmpty()
            && (localVoter.installedSet().epoch() == 0 || localVoter.mustKeepStore(query.asOf()));
    // A bootstrap must not replace a damaged store, as its voter may have voted before.
    boolean damaged = !query.names().isEmpty() && localVoter.isDamaged();
    if (!query.createStore() || namesDiffer || keepsStore || damaged) {
      answer.accept(
          new VoterDescription(
              query.op(),
              localVoter.key(),
              knownVoters,
              namesDiffer
                  ? "its file names other voters"
                  : damaged
                      ? localVoter.fault()
                      : query.createStore() && localVoter.mustKeepStore(query.asOf())
                          ? "votes already as " + localVoter.key()
                          : ""));
      return;
    }
    log.accept("leases: creates a new store for the voter " + name);
    localVoter
        .createStore(random.nextLong() >>> 1)
        .onComplete(
            v ->
                answer.accept(
                    new VoterDescription(
                        query.op(), localVoter.key(), knownVoters, localVoter.fault())));
  }

  // ---------------------------------------------------------------- operator commands

  private boolean isBusy() {
    return bootstrap != null || replacement != null || newcomerName != null;
  }

  private void beginCommand() {
    if (isBusy()) {
      throw new IllegalStateException("another command is under way here");
    }
    lastFault = null;
    commandDeadline = clock.now() + COMMAND_TIMEOUT_MICROS;
  }

  private void startCommandTimer(long at, Runnable action) {
    vertx.cancelTimer(commandTimer);
    commandTimer =
        vertx.setTimer(
            Math.max(1, (at - clock.now() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI),
            t -> action.run());
  }

  private void endCommand(String fault) {
    vertx.cancelTimer(commandTimer);
    bootstrap = null;
    replacement = null;
    newcomerName = null;
    lastFault = fault;
    log.accept(
        "leases: "
            + (fault == null ? "the change of the voters is complete" : "not done: " + fault));
  }

  /**
   * Starts the command that creates the first voter set, of the configured front ends.
   *
   * @throws IllegalStateException if another command is in progress
   */
  public void bootstrapVoters() {
    beginCommand();
    bootstrap =
        new VoterBootstrap(
            options.voters(),
            commandDeadline,
            new VoterBootstrap.Outbox() {
              @Override
              public void send(String to, ConsensusMessage message) {
                String key = message instanceof Install ? bootstrap.keyOf(to) : "";
                RegisterManager.this.send(
                    to, new Envelope(false, 0, key, startId, COMMAND_REQUESTER, message));
              }

              @Override
              public void startTimer(long at) {
                VoterBootstrap started = bootstrap;
                RegisterManager.this.startCommandTimer(at, () -> started.onTimer(clock.now()));
              }

              @Override
              public void completed(VoterSet founded, String fault) {
                if (founded != null) {
                  adopt(founded);
                }
                endCommand(fault);
              }
            });
    bootstrap.start(clock.now());
  }

  /**
   * Starts the command that replaces a voter by another front end, or by itself with a new store.
   * Empty names only complete a replacement that was begun.
   *
   * @throws IllegalStateException if another command is in progress, or the voter set does not
   *     allow it
   */
  public void replaceVoter(String leaver, String newcomer) {
    beginCommand();
    if (knownVoters.epoch() == 0) {
      throw new IllegalStateException("it is not known yet who votes");
    }
    if (newcomer.isEmpty()) {
      startReplacement("", "");
      return;
    }
    if (knownVoters.keyOf(leaver) == null) {
      throw new IllegalStateException(leaver + " does not vote");
    }
    if (knownVoters.keyOf(newcomer) != null && !newcomer.equals(leaver)) {
      throw new IllegalStateException(newcomer + " votes already");
    }
    newcomerName = newcomer;
    leaverName = leaver;
    queryNewcomer();
  }

  private void queryNewcomer() {
    if (clock.now() >= commandDeadline) {
      endCommand(newcomerName + " does not answer");
      return;
    }
    send(
        newcomerName,
        new Envelope(
            false,
            0,
            "",
            startId,
            COMMAND_REQUESTER,
            new VoterQuery(commandDeadline, true, knownVoters, List.of())));
    startCommandTimer(clock.now() + REQUEST_TIMEOUT_MICROS, this::queryNewcomer);
  }

  private void onNewcomerDescription(VoterDescription description) {
    if (description.op() != commandDeadline) {
      return; // response to an earlier command
    }
    String leaving = knownVoters.keyOf(leaverName);
    if (description.key().isEmpty()
        || !description.fault().isEmpty()
        || leaving == null
        || leaving.equals(description.key())) {
      endCommand(
          newcomerName
              + ": "
              + (description.fault().isEmpty() ? "has no folder" : description.fault()));
      return;
    }
    newcomerName = null;
    startReplacement(description.key(), leaving);
  }

  private void startReplacement(String newcomer, String leaver) {
    VoterReplacement[] started = new VoterReplacement[1];
    started[0] =
        new VoterReplacement(
            knownVoters,
            newcomer,
            leaver,
            commandDeadline,
            new VoterReplacement.Outbox() {
              @Override
              public void send(String voter, ConsensusMessage message) {
                sendToVoter(voter, COMMAND_REQUESTER, message);
              }

              @Override
              public void propose(String register, Proposer.Change change, long deadline) {
                commandClient.change(
                    register,
                    change,
                    deadline,
                    value -> {
                      if (replacement == started[0]) {
                        started[0].onRegisterResult(clock.now(), value);
                      }
                    });
              }

              @Override
              public void adopt(VoterSet voters) {
                RegisterManager.this.adopt(voters);
              }

              @Override
              public void startTimer(long at) {
                RegisterManager.this.startCommandTimer(at, () -> started[0].onTimer(clock.now()));
              }

              @Override
              public void completed(String fault) {
                endCommand(fault);
              }
            });
    replacement = started[0];
    replacement.start(clock.now());
  }

  /**
   * The voter set, the state of the local voter and the result of the last command, for operators.
   */
  public JsonObject status() {
    JsonObject json = new JsonObject();
    json.addProperty("epoch", knownVoters.epoch());
    JsonArray keys = new JsonArray();
    knownVoters.keys().forEach(keys::add);
    json.add("voters", keys);
    json.addProperty("leaving", knownVoters.leaving());
    json.addProperty("key", localVoter == null ? "" : localVoter.key());
    json.addProperty("why_not", localVoter == null ? "" : localVoter.fault());
    json.addProperty("registers", localVoter == null ? 0 : localVoter.registerCount());
    json.addProperty("busy", isBusy());
    if (lastFault != null) {
      json.addProperty("not_done", lastFault);
    }
    return json;
  }
}
