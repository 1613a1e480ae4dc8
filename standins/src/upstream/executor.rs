//! Runs the statements of one connection and tracks its transaction.

use std::sync::{Arc, Mutex};

use masticreel_base::position::TermPosition;
use pgwire::messages::response::TransactionStatus;
use rusqlite::Connection;
use rusqlite::types::Value;

use crate::upstream::error::{SqlError, codes};
use crate::upstream::interrupt::SessionHandle;
use crate::upstream::log::{LoggedStatement, LoggedValue};
use crate::upstream::result::{Column, ResultSet, command_tag, describe_columns};
use crate::upstream::server::ServerState;
use crate::upstream::sql::{Command, Statement};
use crate::upstream::writer::{LockError, SharedConnection, WriteGuard};

/// Whether the caller has opened a transaction block, and whether that is aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TransactionBlock {
    None,
    Open { read_only: bool },
    Failed,
}

/// A SQLite transaction that has written.
struct WriteTransaction {
    role_epoch: u64,
    statements: Vec<LoggedStatement>,
    guard: WriteGuard,
}

/// A savepoint and how many statements were logged before it.
struct Savepoint {
    name: String,
    logged: usize,
}

/// Runs statements for one connection.
///
/// Outside of a writing transaction, each read sees the newest commit, as at the
/// isolation level READ COMMITTED. The SQLite transaction begins with the first
/// write.
pub struct Executor {
    server: Arc<ServerState>,
    session_handle: Arc<SessionHandle>,
    connection: SharedConnection,
    generation: Option<u64>,
    /// False only for the control user.
    uses_slots: bool,
    block: TransactionBlock,
    write_transaction: Option<WriteTransaction>,
    savepoints: Vec<Savepoint>,
    committed: Option<TermPosition>,
}

impl Executor {
    /// Creates an executor without a transaction.
    pub fn new(
        server: Arc<ServerState>,
        session_handle: Arc<SessionHandle>,
        uses_slots: bool,
    ) -> Self {
        Self {
            server,
            session_handle,
            connection: Arc::new(Mutex::new(None)),
            generation: None,
            uses_slots,
            block: TransactionBlock::None,
            write_transaction: None,
            savepoints: Vec::new(),
            committed: None,
        }
    }

    /// Returns the state for the next ReadyForQuery.
    pub fn status(&self) -> TransactionStatus {
        match self.block {
            TransactionBlock::None => TransactionStatus::Idle,
            TransactionBlock::Open { .. } => TransactionStatus::Transaction,
            TransactionBlock::Failed => TransactionStatus::Error,
        }
    }

    /// Returns the position of this connection's last commit, once; after that the
    /// newest position that reads can have seen.
    pub fn take_position(&mut self) -> TermPosition {
        self.committed.take().unwrap_or_else(|| self.server.membership.lock().visible())
    }

    /// Returns the number of a statement's parameters and its columns without
    /// running it; there are no columns if it returns no rows.
    ///
    /// # Errors
    ///
    /// Fails when SQLite can't prepare the statement.
    pub fn describe(&mut self, statement: &Statement) -> Result<(usize, Vec<Column>), SqlError> {
        self.open_current_generation()?;
        let connection = self
            .connection
            .lock()
            .expect("no thread panics while it holds the lock of the connection");
        let connection = connection.as_ref().expect("the connection was opened before");
        let prepared = connection.prepare_cached(&statement.sql)?;
        let numbers = (1..=prepared.parameter_count()).filter_map(|index| {
            prepared.parameter_name(index)?.strip_prefix('$')?.parse::<usize>().ok()
        });
        Ok((numbers.max().unwrap_or(0), describe_columns(&prepared)))
    }

    /// Runs a statement for SQLite or a command that controls the transaction.
    ///
    /// # Errors
    ///
    /// Fails with the error to send to the caller; an open block is then aborted.
    pub fn execute(
        &mut self,
        statement: &Statement,
        values: &[Value],
    ) -> Result<ResultSet, SqlError> {
        self.session_handle.begin();
        let result = self.run(statement, values);
        let is_cancelled = self.session_handle.end();
        result.map_err(|error| {
            let role_changed = self.role_changed();
            self.abort_transaction();
            match is_cancelled {
                true if role_changed => SqlError::not_primary(),
                true => SqlError::cancelled(),
                false => error,
            }
        })
    }

    /// Commits what was written outside of a block.
    ///
    /// # Errors
    ///
    /// Fails with 25006 when the server's role has changed since the first write.
    pub fn finish_implicit(&mut self) -> Result<(), SqlError> {
        if self.block == TransactionBlock::None { self.commit() } else { Ok(()) }
    }

    /// Aborts the transaction after an error; an open block then accepts only
    /// commands that end it or roll back to a savepoint.
    pub fn abort_transaction(&mut self) {
        if self.block == TransactionBlock::None {
            self.roll_back();
        } else {
            self.block = TransactionBlock::Failed;
        }
    }

    /// Drops temporary objects by closing the SQLite connection that has them.
    pub fn discard_temporary(&mut self) {
        self.roll_back();
        *self
            .connection
            .lock()
            .expect("no thread panics while it holds the lock of the connection") = None;
        self.generation = None;
    }

    /// Rolls back the transaction when the connection ends.
    pub fn close(&mut self) {
        self.roll_back();
    }

    fn role_changed(&self) -> bool {
        let server = &self.server;
        self.write_transaction
            .as_ref()
            .is_some_and(|open| open.role_epoch != server.membership.lock().role_epoch)
    }

    fn run(&mut self, statement: &Statement, values: &[Value]) -> Result<ResultSet, SqlError> {
        let is_allowed_in_failed_block = matches!(
            statement.command,
            Command::Commit | Command::Rollback | Command::RollbackTo(_)
        );
        if self.block == TransactionBlock::Failed && !is_allowed_in_failed_block {
            return Err(SqlError::new(
                codes::FAILED_TRANSACTION,
                "current transaction is aborted, commands ignored until end of transaction block",
            ));
        }
        match &statement.command {
            Command::Begin { read_only } => self.begin(*read_only),
            Command::Commit => self.commit_block(),
            Command::Rollback => {
                self.roll_back();
                Ok(ResultSet::tag_only("ROLLBACK"))
            }
            Command::Savepoint(name) => self.savepoint(name),
            Command::RollbackTo(name) => self.roll_back_to(name),
            Command::Release(name) => self.release(name),
            Command::Sqlite(keyword) => self.query(statement, keyword, values),
            _ => Err(SqlError::new(codes::INTERNAL, "the command belongs to the session")),
        }
    }

    fn begin(&mut self, read_only: bool) -> Result<ResultSet, SqlError> {
        if self.block == TransactionBlock::None {
            self.block = TransactionBlock::Open { read_only };
        }
        Ok(ResultSet::tag_only("BEGIN"))
    }

    fn commit_block(&mut self) -> Result<ResultSet, SqlError> {
        if self.block == TransactionBlock::Failed {
            self.roll_back();
            return Ok(ResultSet::tag_only("ROLLBACK"));
        }
        self.block = TransactionBlock::None;
        self.commit()?;
        Ok(ResultSet::tag_only("COMMIT"))
    }

    fn commit(&mut self) -> Result<(), SqlError> {
        self.savepoints.clear();
        let Some(mut write_transaction) = self.write_transaction.take() else {
            return Ok(());
        };
        let statements = std::mem::take(&mut write_transaction.statements);
        let connection = self
            .connection
            .lock()
            .expect("no thread panics while it holds the lock of the connection");
        let connection = connection.as_ref().expect("a writer has a connection");
        let result =
            self.server.membership.commit(connection, write_transaction.role_epoch, statements);
        if result.is_err() && !connection.is_autocommit() {
            connection.execute_batch("ROLLBACK")?;
        }
        drop(write_transaction.guard);
        self.committed = Some(result?);
        Ok(())
    }

    fn roll_back(&mut self) {
        self.block = TransactionBlock::None;
        self.savepoints.clear();
        let Some(write_transaction) = self.write_transaction.take() else {
            return;
        };
        let connection = self
            .connection
            .lock()
            .expect("no thread panics while it holds the lock of the connection");
        if let Some(connection) = connection.as_ref().filter(|open| !open.is_autocommit()) {
            // Fails if SQLite has rolled back by itself after an error.
            let _ = connection.execute_batch("ROLLBACK");
        }
        drop(write_transaction.guard);
    }

    fn savepoint(&mut self, name: &str) -> Result<ResultSet, SqlError> {
        if self.block == TransactionBlock::None {
            let message = "SAVEPOINT can only be used in transaction blocks";
            return Err(SqlError::new("25P01", message));
        }
        let logged = self
            .write_transaction
            .as_ref()
            .map_or(0, |write_transaction| write_transaction.statements.len());
        if self.write_transaction.is_some() {
            self.execute_sql(&format!("SAVEPOINT \"{name}\""))?;
        }
        self.savepoints.push(Savepoint { name: name.to_owned(), logged });
        Ok(ResultSet::tag_only("SAVEPOINT"))
    }

    fn find_savepoint(&self, name: &str) -> Result<usize, SqlError> {
        let found = self.savepoints.iter().rposition(|savepoint| savepoint.name == name);
        found.ok_or_else(|| {
            SqlError::new(codes::UNKNOWN_SAVEPOINT, format!("savepoint \"{name}\" does not exist"))
        })
    }

    fn roll_back_to(&mut self, name: &str) -> Result<ResultSet, SqlError> {
        let index = self.find_savepoint(name)?;
        self.check_role_epoch()?;
        if self.write_transaction.is_some() {
            self.execute_sql(&format!("ROLLBACK TO \"{name}\""))?;
        }
        let logged = self.savepoints[index].logged;
        if let Some(write_transaction) = &mut self.write_transaction {
            write_transaction.statements.truncate(logged);
        }
        self.savepoints.truncate(index + 1);
        // The block may write from here on, even if it began as read-only.
        self.block = TransactionBlock::Open { read_only: false };
        Ok(ResultSet::tag_only("ROLLBACK"))
    }

    fn release(&mut self, name: &str) -> Result<ResultSet, SqlError> {
        let index = self.find_savepoint(name)?;
        if self.write_transaction.is_some() {
            self.execute_sql(&format!("RELEASE \"{name}\""))?;
        }
        self.savepoints.truncate(index);
        Ok(ResultSet::tag_only("RELEASE"))
    }

    fn execute_sql(&self, sql: &str) -> Result<(), SqlError> {
        let connection = self
            .connection
            .lock()
            .expect("no thread panics while it holds the lock of the connection");
        let connection = connection.as_ref().expect("a writer has a connection");
        Ok(connection.execute_batch(sql)?)
    }

    fn query(
        &mut self,
        statement: &Statement,
        keyword: &str,
        values: &[Value],
    ) -> Result<ResultSet, SqlError> {
        self.check_role_epoch()?;
        self.open_current_generation()?;
        let is_read = {
            let connection = self
                .connection
                .lock()
                .expect("no thread panics while it holds the lock of the connection");
            let connection = connection.as_ref().expect("the connection was opened before");
            connection.prepare_cached(&statement.sql)?.readonly()
        };
        if !is_read {
            self.begin_writing()?;
        }
        let server = Arc::clone(&self.server);
        let _slot = self.uses_slots.then(|| server.slots.acquire());
        let result = {
            let connection = self
                .connection
                .lock()
                .expect("no thread panics while it holds the lock of the connection");
            let connection = connection.as_ref().expect("the connection was opened before");
            run_prepared(connection, statement, keyword, values)?
        };
        if !is_read {
            self.record_for_replicas(statement, values);
        }
        Ok(result)
    }

    /// Keeps a statement for the replicas, unless it creates a temporary object,
    /// which only this connection has.
    fn record_for_replicas(&mut self, statement: &Statement, values: &[Value]) {
        if statement.creates_temporary() {
            return;
        }
        let parameters = values.iter().cloned().map(LoggedValue::from).collect();
        let logged = LoggedStatement { sql: statement.sql.as_str().into(), parameters };
        if let Some(write_transaction) = &mut self.write_transaction {
            write_transaction.statements.push(logged);
        }
    }

    /// Fails if the server's role has changed since the transaction's first write.
    fn check_role_epoch(&mut self) -> Result<(), SqlError> {
        if self.role_changed() {
            return Err(SqlError::not_primary());
        }
        Ok(())
    }

    fn begin_writing(&mut self) -> Result<(), SqlError> {
        if self.write_transaction.is_some() {
            return Ok(());
        }
        if self.block == (TransactionBlock::Open { read_only: true }) {
            return Err(SqlError::read_only_transaction());
        }
        self.server.membership.primary_role_epoch()?;
        let timeout = self.server.settings.lock_timeout;
        let acquired =
            self.server.write_lock.acquire(&self.connection, &self.session_handle, timeout);
        let guard = acquired.map_err(|error| match error {
            LockError::Cancelled => SqlError::cancelled(),
            LockError::Timeout => {
                SqlError::new(codes::LOCK_NOT_AVAILABLE, "canceling statement due to lock timeout")
            }
        })?;
        let role_epoch = self.server.membership.primary_role_epoch()?;
        self.execute_sql("BEGIN IMMEDIATE")?;
        self.write_transaction =
            Some(WriteTransaction { role_epoch, statements: Vec::new(), guard });
        // A fence that came before BEGIN found no transaction to roll back.
        self.check_role_epoch()?;
        for index in 0..self.savepoints.len() {
            self.execute_sql(&format!("SAVEPOINT \"{}\"", self.savepoints[index].name))?;
        }
        Ok(())
    }

    /// Opens the current generation of the database, unless a transaction still
    /// uses the old one.
    fn open_current_generation(&mut self) -> Result<(), SqlError> {
        let generation = self.server.membership.generation();
        if self.generation == Some(generation) || self.write_transaction.is_some() {
            return Ok(());
        }
        let connection = self.server.files.open(generation, &self.session_handle)?;
        self.session_handle.attach(connection.get_interrupt_handle());
        *self
            .connection
            .lock()
            .expect("no thread panics while it holds the lock of the connection") =
            Some(connection);
        self.generation = Some(generation);
        Ok(())
    }
}

fn run_prepared(
    connection: &Connection,
    statement: &Statement,
    keyword: &str,
    values: &[Value],
) -> Result<ResultSet, SqlError> {
    let mut prepared = connection.prepare_cached(&statement.sql)?;
    for (index, value) in values.iter().enumerate() {
        if let Some(sqlite_index) = prepared.parameter_index(&format!("${}", index + 1))? {
            prepared.raw_bind_parameter(sqlite_index, value)?;
        }
    }
    let columns = describe_columns(&prepared);
    let mut result_rows = Vec::new();
    let mut rows = prepared.raw_query();
    while let Some(row) = rows.next()? {
        let values = (0..columns.len()).map(|index| row.get(index));
        result_rows.push(values.collect::<rusqlite::Result<Vec<Value>>>()?);
    }
    drop(rows);
    let changes = if columns.is_empty() { connection.changes() } else { result_rows.len() as u64 };
    Ok(ResultSet { tag: command_tag(keyword, &statement.sql, changes), columns, rows: result_rows })
}
