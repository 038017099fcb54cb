//! Reads statements from SQL, with `sqlparser`.

use std::time::Duration;

use sqlparser::ast;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use super::error::SqlError;
use super::statement::{
    Operand, Projection, STATUS_TABLE, Statement, StatusColumn, TableColumn, ValueChange,
};

/// Reads all statements of `sql`.
///
/// # Errors
/// When the text isn't SQL or holds a statement that the stand-in doesn't know.
pub fn parse(sql: &str) -> Result<Vec<Statement>, SqlError> {
    let statements = Parser::parse_sql(&PostgreSqlDialect {}, sql)
        .map_err(|error| SqlError::Syntax(error.to_string()))?;
    statements.into_iter().map(convert).collect()
}

fn convert(statement: ast::Statement) -> Result<Statement, SqlError> {
    match statement {
        ast::Statement::StartTransaction { .. } => Ok(Statement::Begin),
        ast::Statement::Commit { .. } => Ok(Statement::Commit),
        ast::Statement::Rollback {
            savepoint: None, ..
        } => Ok(Statement::Rollback),
        ast::Statement::Query(query) => convert_query(*query),
        ast::Statement::Insert(insert) => convert_insert(insert),
        ast::Statement::Update {
            table,
            assignments,
            selection,
            ..
        } => convert_update(&table, &assignments, selection),
        ast::Statement::Delete(delete) => convert_delete(delete),
        other => Err(unsupported(other)),
    }
}

fn convert_query(query: ast::Query) -> Result<Statement, SqlError> {
    let ast::SetExpr::Select(select) = *query.body else {
        return Err(unsupported(query.body));
    };
    let [from] = select.from.as_slice() else {
        return convert_sleep(&select);
    };
    let table = table_name(from)?;
    if table == STATUS_TABLE {
        let columns = select.projection.iter().map(status_column);
        return Ok(Statement::Status(columns.collect::<Result<_, _>>()?));
    }
    let projection = convert_projection(&select.projection)?;
    let key = select.selection.map(key_condition).transpose()?;
    Ok(Statement::Select {
        table,
        projection,
        key,
    })
}

fn convert_projection(items: &[ast::SelectItem]) -> Result<Projection, SqlError> {
    if let [ast::SelectItem::UnnamedExpr(ast::Expr::Function(function))] = items
        && function.name.to_string().eq_ignore_ascii_case("count")
    {
        return Ok(Projection::Count);
    }
    if let [ast::SelectItem::Wildcard(_)] = items {
        let columns = vec![TableColumn::Key, TableColumn::Value];
        return Ok(Projection::Columns(columns));
    }
    let columns = items.iter().map(|item| table_column(&item.to_string()));
    Ok(Projection::Columns(columns.collect::<Result<_, _>>()?))
}

fn table_column(name: &str) -> Result<TableColumn, SqlError> {
    match name {
        "key" => Ok(TableColumn::Key),
        "value" => Ok(TableColumn::Value),
        other => Err(SqlError::Unsupported(format!("column {other}"))),
    }
}

fn status_column(item: &ast::SelectItem) -> Result<StatusColumn, SqlError> {
    match item.to_string().as_str() {
        "role" => Ok(StatusColumn::Role),
        "term" => Ok(StatusColumn::Term),
        "log_term" => Ok(StatusColumn::LogTerm),
        "log_offset" => Ok(StatusColumn::LogOffset),
        other => Err(SqlError::Unsupported(format!("column {other}"))),
    }
}

fn convert_sleep(select: &ast::Select) -> Result<Statement, SqlError> {
    let call = match select.projection.as_slice() {
        [ast::SelectItem::UnnamedExpr(ast::Expr::Function(call))] => call,
        _ => return Err(unsupported(select)),
    };
    let arguments = match &call.args {
        ast::FunctionArguments::List(list) => &list.args,
        _ => return Err(unsupported(select)),
    };
    let [argument] = arguments.as_slice() else {
        return Err(unsupported(select));
    };
    if !call.name.to_string().eq_ignore_ascii_case("pg_sleep") {
        return Err(unsupported(select));
    }
    let text = argument.to_string();
    let seconds = text.trim_matches('\'').parse::<f64>();
    let duration = seconds
        .ok()
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .ok_or_else(|| SqlError::InvalidInput(format!("seconds to sleep: {text}")))?;
    Ok(Statement::Sleep(duration))
}

fn convert_insert(insert: ast::Insert) -> Result<Statement, SqlError> {
    let ast::TableObject::TableName(table) = &insert.table else {
        return Err(unsupported(insert));
    };
    let table = table.to_string();
    let columns = insert.columns.iter();
    let columns: Vec<TableColumn> = columns
        .map(|column| table_column(&column.value))
        .collect::<Result<_, _>>()?;
    if !columns.is_empty() && columns != [TableColumn::Key, TableColumn::Value] {
        return Err(unsupported(insert));
    }
    let skip_existing = match &insert.on {
        None => false,
        Some(ast::OnInsert::OnConflict(conflict))
            if conflict.action == ast::OnConflictAction::DoNothing =>
        {
            true
        }
        Some(other) => return Err(unsupported(other)),
    };
    let body = insert.source.map(|query| *query.body);
    let Some(ast::SetExpr::Values(values)) = body else {
        return Err(SqlError::Unsupported(String::from("INSERT without VALUES")));
    };
    let rows = values.rows.into_iter().map(convert_row);
    Ok(Statement::Insert {
        table,
        rows: rows.collect::<Result<_, _>>()?,
        skip_existing,
    })
}

fn convert_row(row: Vec<ast::Expr>) -> Result<(Operand, Operand), SqlError> {
    let [key, value] = <[ast::Expr; 2]>::try_from(row)
        .map_err(|_| SqlError::Unsupported(String::from("a row that isn't (key, value)")))?;
    Ok((operand(key)?, operand(value)?))
}

fn convert_update(
    table: &ast::TableWithJoins,
    assignments: &[ast::Assignment],
    selection: Option<ast::Expr>,
) -> Result<Statement, SqlError> {
    let table = table_name(table)?;
    let [assignment] = assignments else {
        return Err(SqlError::Unsupported(String::from(
            "UPDATE of other columns than value",
        )));
    };
    if assignment.target.to_string() != "value" {
        return Err(unsupported(assignment));
    }
    let change = match assignment.value.clone() {
        ast::Expr::BinaryOp {
            left,
            op: ast::BinaryOperator::Plus,
            right,
        } if left.to_string() == "value" => ValueChange::Add(operand(*right)?),
        other => ValueChange::Set(operand(other)?),
    };
    let key = required_key(selection)?;
    Ok(Statement::Update { table, key, change })
}

fn convert_delete(delete: ast::Delete) -> Result<Statement, SqlError> {
    let (ast::FromTable::WithFromKeyword(tables) | ast::FromTable::WithoutKeyword(tables)) =
        &delete.from;
    let [table] = tables.as_slice() else {
        return Err(unsupported(delete));
    };
    let table = table_name(table)?;
    let key = required_key(delete.selection)?;
    Ok(Statement::Delete { table, key })
}

fn table_name(table: &ast::TableWithJoins) -> Result<String, SqlError> {
    match &table.relation {
        ast::TableFactor::Table { name, .. } if table.joins.is_empty() => Ok(name.to_string()),
        _ => Err(unsupported(table)),
    }
}

fn required_key(selection: Option<ast::Expr>) -> Result<Operand, SqlError> {
    let condition = selection
        .ok_or_else(|| SqlError::Unsupported(String::from("a change without WHERE key = ...")))?;
    key_condition(condition)
}

fn key_condition(condition: ast::Expr) -> Result<Operand, SqlError> {
    match condition {
        ast::Expr::BinaryOp {
            left,
            op: ast::BinaryOperator::Eq,
            right,
        } if left.to_string() == "key" => operand(*right),
        other => Err(unsupported(other)),
    }
}

fn operand(expression: ast::Expr) -> Result<Operand, SqlError> {
    if let ast::Expr::UnaryOp {
        op: ast::UnaryOperator::Minus,
        expr,
    } = &expression
        && let ast::Expr::Value(value) = expr.as_ref()
    {
        return Ok(Operand::Constant(Some(format!("-{value}"))));
    }
    let ast::Expr::Value(value) = expression else {
        return Err(unsupported(expression));
    };
    match value.value {
        ast::Value::Placeholder(name) => parameter(&name),
        ast::Value::SingleQuotedString(text) => Ok(Operand::Constant(Some(text))),
        ast::Value::Number(digits, _) => Ok(Operand::Constant(Some(digits))),
        ast::Value::Null => Ok(Operand::Constant(None)),
        other => Err(unsupported(other)),
    }
}

fn parameter(name: &str) -> Result<Operand, SqlError> {
    let number = name
        .strip_prefix('$')
        .and_then(|digits| digits.parse().ok());
    match number {
        Some(number) if number > 0 => Ok(Operand::Parameter(number)),
        _ => Err(SqlError::Syntax(format!("parameter {name}"))),
    }
}

fn unsupported(part: impl std::fmt::Display) -> SqlError {
    SqlError::Unsupported(part.to_string())
}
